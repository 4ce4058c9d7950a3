/**
 * What a router knows of the runners: their announcements and loads, the signals it reports of their cells, and the
 * selection of a runner by prefix affinity. The classes are safe for use by several threads.
 */
package craneway.data.runner;
