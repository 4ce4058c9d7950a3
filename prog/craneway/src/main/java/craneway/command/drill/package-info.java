/** Empties a zone of a running fleet under load, takes it back and checks the promises meanwhile. */
package craneway.command.drill;
