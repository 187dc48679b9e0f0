package main

// The users' platform requires programs that are linked against the system's C library.

import "C"
