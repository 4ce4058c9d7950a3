/** Reads JSON documents, and documents of other Jackson formats, into trees of nodes. */
package craneway.model.json;
