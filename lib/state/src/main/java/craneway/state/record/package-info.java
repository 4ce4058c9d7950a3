/**
 * The state machine of a part: the rows of members, services, claims, quotas, plans and steps, and the handlers of the
 * commands that change them.
 *
 * <p>It is deterministic: the same commands in the same order give the same rows on every replica. It reads no clock
 * and draws no random numbers; the passage of time is a command too.
 */
package craneway.state.record;
