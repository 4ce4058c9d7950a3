/**
 * Decides the home cell of each unit and the steps that move units there: homes by weight and health, steps that are
 * confirmed, watched and taken back if the new home gets worse, and displacement from full cells.
 *
 * <p>These classes do no I/O. The leader of a part runs them and proposes the commands that they return. They are not
 * safe for several threads. Times are microseconds.
 */
package craneway.control.plan;
