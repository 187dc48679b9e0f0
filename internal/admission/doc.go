// Package admission queues requests by rank before dispatch and reserves a slot
// at a backend server for each.
//
// A Scheduler makes the decisions and is synchronous: every method takes the
// current time, starts no goroutine and never blocks. A Queue puts a Scheduler
// behind a mutex for concurrent requests, and Workers is the process's pool of
// goroutines that dispatch for all queues.
//
// Lock order, outermost first: the table of services (service.Set), Queue.mu,
// then the balancer's own locks. No two queues are locked at the same time, and
// no lock is held while a goroutine waits or a result is delivered.
package admission
