#include "cmd/cmd.h"

int main(int argc, char **argv)
{
	return cmd_main(argc, argv);
}
