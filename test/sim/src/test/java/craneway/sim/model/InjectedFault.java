package craneway.sim.model;

import craneway.state.part.PartMessage;

/** A fault that is injected into members on purpose. The default methods change nothing. */
interface InjectedFault {
    InjectedFault NONE = new InjectedFault() {};

    /** Returns the message to send in place of the given one, or null for none. */
    default PartMessage replaceSent(int slot, PartMessage message) {
        return message;
    }

    /** Returns the message to receive in place of the given one. */
    default PartMessage replaceReceived(int slot, PartMessage message) {
        return message;
    }

    /** Changes the disk of a slot before its member starts on it. */
    default void beforeStart(int slot, TrackedDisk disk) {}
}
