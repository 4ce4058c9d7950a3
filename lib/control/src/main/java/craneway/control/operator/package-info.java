/**
 * What operators and platforms ask of the core: manifests, intents and plans, and how far a change has reached the
 * members. Results arrive by callback, on the threads that drive the {@link craneway.control.node.CoreClient}.
 */
package craneway.control.operator;
