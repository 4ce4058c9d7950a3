/**
 * The write-ahead log of one part on disk: segments, whose records state how many bytes were synced when they were
 * written, snapshots, and the folder that holds them.
 *
 * <p>After a kill or a loss of power, everything that was synced is read back intact, or the disk is reported as lost.
 * Unsynced records are read back as far as they are intact; the rest is discarded.
 */
package craneway.state.disk;
