/** The commands for operators: manifest, intent, plan, zone, status, usage and core. */
package craneway.command.operator;
