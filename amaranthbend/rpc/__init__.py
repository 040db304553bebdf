"""Protocol between the system's own processes, with its generated code."""
