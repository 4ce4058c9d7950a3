/**
 * The settings that one process receives at its start: addresses, placement and tolerances. Immutable values, no I/O.
 */
package craneway.model.node;
