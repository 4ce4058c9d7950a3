/**
 * Units of placement (a region set and a slice of the tenants), the placement table from units to cells, and the hashes
 * and periods that all processes must agree on.
 *
 * <p>Everything here is a pure function or an immutable value. All times are microseconds.
 */
package craneway.model.unit;
