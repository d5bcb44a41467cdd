"""One module per sub-command, imported when called; its ``run(args)`` returns the exit code."""
