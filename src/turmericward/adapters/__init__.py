"""Network clients for the log, the instance list, targets and stewards."""
