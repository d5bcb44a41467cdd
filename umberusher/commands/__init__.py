"""The sub-commands, a module each, imported when called: ``run(args)`` gives the exit code."""
