package craneway.sim.model;

import craneway.state.part.PartMessage;

/**
 * A message in flight between two member slots.
 *
 * @param label the sender, the receiver, the kind and a running number; it stays the same when a history is shortened
 * @param at when the message may arrive, in microseconds
 */
record Letter(String label, int from, int to, PartMessage message, long at) {}
