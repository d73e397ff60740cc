#include <signal.h>
#include <stddef.h>
#include <string.h>

// instance_commands are the commands that run an instance. The other ones end on a SIGHUP.
static const char *const instance_commands[] = {"serve", "route"};

static int runs_instance(int argc, char **argv) {
	if (argc < 2) {
		return 0;
	}
	for (size_t n = 0; n < sizeof instance_commands / sizeof *instance_commands; n++) {
		if (strcmp(argv[1], instance_commands[n]) == 0) {
			return 1;
		}
	}
	return 0;
}

// ignore_hangups runs before the Go runtime starts, which leaves an ignored SIGHUP ignored until
// signal.Notify. The C library passes the arguments of main to constructors.
__attribute__((constructor)) static void ignore_hangups(int argc, char **argv) {
	if (runs_instance(argc, argv)) {
		(void)signal(SIGHUP, SIG_IGN);
	}
}
