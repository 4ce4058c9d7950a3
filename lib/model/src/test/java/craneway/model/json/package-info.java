/** Tests of {@link craneway.model.json}. */
package craneway.model.json;
