/** Reads documents into trees of nodes. */
package craneway.model.json;
