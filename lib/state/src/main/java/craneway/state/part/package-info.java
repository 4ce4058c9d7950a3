/**
 * The consensus group of one part, after Raft: leader election with pre-vote and leases, log replication, membership
 * changes and snapshots.
 *
 * <p>The classes are deterministic: they read no clock, open no socket and start no thread. The caller passes time and
 * random numbers in and holds a lock for the part. A message is sent only after everything it promises has been synced.
 */
package craneway.state.part;
