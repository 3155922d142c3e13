/* Stand-ins for what lies around the system: one program, picked by name. */
int
main(void)
{
	return 0;
}
