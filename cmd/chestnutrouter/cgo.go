package main

// The users' platform requires programs that are linked to the system's C library.

import "C"
