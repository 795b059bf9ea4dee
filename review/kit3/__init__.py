"""Stand-ins and checks that the scripts of the third review share."""
