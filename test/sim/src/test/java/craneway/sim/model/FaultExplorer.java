package craneway.sim.model;

import craneway.state.part.Role;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedList;
import java.util.List;
import java.util.Set;

/**
 * Explores all histories with a limited number of faults: between them the network delivers every message in order and
 * every member ticks in time. Reaches far deeper than {@link Explorer} and finds a violation with the fewest faults
 * first.
 */
final class FaultExplorer {
    private static final int ADVANCE_MILLIS = 100;

    /** A state by the choice that led to it from its parent. */
    private record Node(Node parent, Choice choice) {
        List<Choice> path() {
            var path = new LinkedList<Choice>();
            for (var node = this; node.choice != null; node = node.parent) path.addFirst(node.choice);
            return path;
        }
    }

    private final Explorer.Start start;
    private final int maxFaults;
    private final int maxStates;
    private final long horizonMicros;
    private final Set<Long> visitedStates = new HashSet<>();
    private List<Node> nextLevel = new ArrayList<>();
    private boolean incomplete;

    FaultExplorer(Explorer.Start start, int maxFaults, int maxStates) {
        this.start = start;
        this.maxFaults = maxFaults;
        horizonMicros = start.horizonMillis() * 1_000L;
        this.maxStates = maxStates;
    }

    /**
     * Explores all histories with no fault, then with one more each time. The depth of the result is the largest number
     * of faults whose histories were all played.
     */
    Explorer.Result run() {
        var level = List.of(new Node(null, null));
        var exploredFaults = -1;
        for (var faultCount = 0; faultCount <= maxFaults; faultCount++) {
            var levelComplete = !incomplete;
            nextLevel = new ArrayList<>();
            for (var node : level) {
                if (visitedStates.size() >= maxStates)
                    return new Explorer.Result(visitedStates.size(), exploredFaults, false, List.of(), null);
                var failure = follow(node, faultCount < maxFaults);
                if (failure != null) return failure;
            }
            if (levelComplete) exploredFaults = faultCount;
            level = nextLevel;
        }
        return new Explorer.Result(visitedStates.size(), exploredFaults, !incomplete, List.of(), null);
    }

    /**
     * Plays the history to a node and then goes on without faults until the horizon or a visited state; keeps each
     * fault that may occur on the way for the next level.
     */
    private Explorer.Result follow(Node from, boolean mayAddFault) {
        var node = from;
        try {
            var world = start.world().get();
            world.checker().setReplaying(true);
            start.choices().forEach(world::apply);
            var end = world.now() + horizonMicros;
            var path = from.path();
            for (var i = 0; i < path.size(); i++) {
                world.checker().setReplaying(i < path.size() - 1);
                world.apply(path.get(i));
            }
            world.checker().setReplaying(false);
            while (world.now() < end && visitedStates.add(StateHash.of(world))) {
                if (mayAddFault) for (var fault : possibleFaults(world, path)) keepForNextLevel(new Node(node, fault));
                node = new Node(node, nextWithoutFault(world));
                world.apply(node.choice());
            }
            return null;
        } catch (Violation violation) {
            return new Explorer.Result(visitedStates.size(), 0, false, node.path(), violation);
        }
    }

    /**
     * Keeps a node for the next level, up to the maximum number of states; a node that is dropped makes the next level
     * incomplete.
     */
    private void keepForNextLevel(Node node) {
        if (nextLevel.size() < maxStates) nextLevel.add(node);
        else incomplete = true;
    }

    /** Whether the network delivers the message by itself: it is not postponed, and its receiver runs. */
    private static boolean isDeliverable(World world, InFlightMessage message) {
        return !world.postponedLabels().contains(message.label())
                && world.peer(message.to()).isRunning();
    }

    /** What happens next without a fault: a delivery, a tick, or the passing of time. */
    private static Choice nextWithoutFault(World world) {
        for (var message : world.messagesInFlight())
            if (isDeliverable(world, message)) return Choice.of(Choice.Kind.DELIVER, message.label());
        for (var peer : world.peers())
            if (peer.isRunning() && !world.tickedSlots().contains(peer.slot()))
                return Choice.of(Choice.Kind.TICK, peer.slot());
        return Choice.of(Choice.Kind.ADVANCE, ADVANCE_MILLIS);
    }

    private List<Choice> possibleFaults(World world, List<Choice> path) {
        var choices = new ArrayList<Choice>();
        addMessageFaults(world, path, choices);
        if (isAllowed(Choice.Kind.ADVANCE, path))
            for (var step : start.advanceMillis()) choices.add(Choice.of(Choice.Kind.ADVANCE, step));
        for (var peer : world.peers()) {
            for (var kind : List.of(Choice.Kind.RESTART, Choice.Kind.POWER, Choice.Kind.LOSE))
                if (isAllowed(kind, path)) choices.add(Choice.of(kind, peer.slot()));
            for (var other : world.peers())
                if (other != peer && isAllowed(Choice.Kind.CUT, path))
                    choices.add(Choice.of(Choice.Kind.CUT, peer.slot(), other.slot()));
            if (peer.isFrozen()) choices.add(Choice.of(Choice.Kind.THAW, peer.slot()));
            else if (isAllowed(Choice.Kind.FREEZE, path)) choices.add(Choice.of(Choice.Kind.FREEZE, peer.slot()));
            if (peer.isRunning() && peer.group().role() == Role.LEADER) addLeaderChoices(world, peer, path, choices);
        }
        return choices;
    }

    /**
     * Reorders, postpones or repeats messages: the first deliverable one may be postponed or repeated, any other
     * overtake it.
     */
    private void addMessageFaults(World world, List<Choice> path, List<Choice> choices) {
        var first = true;
        for (var message : world.messagesInFlight()) {
            if (!isDeliverable(world, message)) {
                if (world.peer(message.to()).isRunning()) choices.add(Choice.of(Choice.Kind.DELIVER, message.label()));
                continue;
            }
            if (!first) choices.add(Choice.of(Choice.Kind.DELIVER, message.label()));
            if (first) choices.add(Choice.of(Choice.Kind.POSTPONE, message.label()));
            if (first && isAllowed(Choice.Kind.REPEAT, path))
                choices.add(Choice.of(Choice.Kind.REPEAT, message.label()));
            first = false;
        }
    }

    private void addLeaderChoices(World world, Peer leader, List<Choice> path, List<Choice> choices) {
        if (isAllowed(Choice.Kind.PROPOSE, path)) choices.add(Choice.of(Choice.Kind.PROPOSE, leader.slot()));
        if (isAllowed(Choice.Kind.PROMOTE, path)) choices.add(Choice.of(Choice.Kind.PROMOTE, leader.slot()));
        for (var kind : List.of(Choice.Kind.LEARN, Choice.Kind.REMOVE, Choice.Kind.HAND_OVER))
            for (var other : world.peers())
                if (other != leader && isAllowed(kind, path)) choices.add(Choice.of(kind, leader.slot(), other.slot()));
    }

    private boolean isAllowed(Choice.Kind kind, List<Choice> path) {
        var limit = start.limits().getOrDefault(kind, 0);
        return limit > 0
                && (kind == Choice.Kind.ADVANCE
                        || path.stream().filter(choice -> choice.kind() == kind).count() < limit);
    }
}
