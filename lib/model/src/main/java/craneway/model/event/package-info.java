/**
 * The numbered events that a process logs and the interface that receives them.
 *
 * <p>A number never changes its meaning; {@code docs/events.md} lists every event and the recommended reaction.
 */
package craneway.model.event;
