"""Command-line programs: the processes to deploy and the operators' tools."""
