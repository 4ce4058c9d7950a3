package craneway.sim.model;

import craneway.state.part.PartMessage;

/**
 * A message in flight between two member slots.
 *
 * @param label the sender, the receiver, the kind and a running number; it stays the same when a history is shortened
 * @param arrivesAt when the message may arrive, in microseconds
 */
record InFlightMessage(String label, int from, int to, PartMessage message, long arrivesAt) {}
