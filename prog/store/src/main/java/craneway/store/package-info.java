/** The program {@code store}, which holds replicas of the control state. */
package craneway.store;
