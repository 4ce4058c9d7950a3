/**
 * The manifest that operators write, as immutable values, and the reader that validates it.
 *
 * <p>Every {@link craneway.model.manifest.Manifest} is valid: each name that it refers to is defined in it. Times are
 * microseconds in these classes and milliseconds in the JSON text. Nothing here does I/O, and the values may be shared
 * between threads.
 */
package craneway.model.manifest;
