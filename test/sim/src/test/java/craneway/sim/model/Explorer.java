package craneway.sim.model;

import craneway.state.part.Role;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/** Explores all short histories from a start breadth-first and skips states that it has visited before. */
final class Explorer {
    /**
     * Where an exploration starts and how far it goes.
     *
     * @param world creates the world
     * @param choices the history that leads to the start
     * @param limits how often each kind of event may occur; 0 for kinds that are not named
     * @param advanceMillis by how many milliseconds time may advance at once
     * @param horizonMillis how many milliseconds after the start the {@link FaultExplorer} follows a history
     */
    record Start(
            String name,
            Supplier<World> world,
            List<Choice> choices,
            Map<Choice.Kind, Integer> limits,
            int[] advanceMillis,
            int horizonMillis) {}

    /**
     * What an exploration found.
     *
     * @param states the number of distinct states
     * @param depth the length of the longest histories explored in full
     * @param complete whether no state was left to explore
     * @param trace the shortest history that violates an invariant, or empty
     * @param violation the violation, or null
     */
    record Result(int states, int depth, boolean complete, List<Choice> trace, Violation violation) {}

    /** A state by the choice that led to it from its parent. */
    private record Node(Node parent, Choice choice, int depth) {
        List<Choice> path() {
            var path = new LinkedList<Choice>();
            for (var node = this; node.choice != null; node = node.parent) path.addFirst(node.choice);
            return path;
        }
    }

    private final Start start;
    private final int maxStates;
    private final Set<Long> visitedStates = new HashSet<>();
    private int depth;

    Explorer(Start start, int maxStates) {
        this.start = start;
        this.maxStates = maxStates;
    }

    /** Explores until a violation is found, no state is left or the maximum number of states is reached. */
    Result run() {
        var level = List.of(new Node(null, null, 0));
        while (!level.isEmpty()) {
            var nextLevel = new ArrayList<Node>();
            for (var node : level) {
                var path = node.path();
                for (var choice : possibleChoices(path)) {
                    if (visitedStates.size() >= maxStates)
                        return new Result(visitedStates.size(), depth, false, List.of(), null);
                    var child = new Node(node, choice, node.depth() + 1);
                    try {
                        if (visitedStates.add(stateAfter(path, choice))) nextLevel.add(child);
                    } catch (Violation violation) {
                        return new Result(visitedStates.size(), child.depth(), false, child.path(), violation);
                    }
                }
            }
            depth++;
            level = nextLevel;
        }
        return new Result(visitedStates.size(), depth, true, List.of(), null);
    }

    /** A world after the given history; its steps were checked before and are not checked again. */
    private World replay(List<Choice> path) {
        var world = start.world().get();
        world.checker().setReplaying(true);
        start.choices().forEach(world::apply);
        path.forEach(world::apply);
        world.checker().setReplaying(false);
        return world;
    }

    /** The state after one more step. The number of events used up is part of it, since it limits what may follow. */
    private long stateAfter(List<Choice> path, Choice choice) {
        var world = replay(path);
        world.apply(choice);
        return StateHash.of(world) * 31 + countLimited(path, choice).hashCode();
    }

    /** How often each kind of event with a limit occurs in a history and one more choice, which may be null. */
    private Map<Choice.Kind, Integer> countLimited(List<Choice> path, Choice last) {
        var countByKind = new EnumMap<Choice.Kind, Integer>(Choice.Kind.class);
        for (var choice : path)
            if (start.limits().containsKey(choice.kind())) countByKind.merge(choice.kind(), 1, Integer::sum);
        if (last != null && start.limits().containsKey(last.kind())) countByKind.merge(last.kind(), 1, Integer::sum);
        return countByKind;
    }

    /** All choices after a history. Of messages with the same ends and content only one is offered. */
    private List<Choice> possibleChoices(List<Choice> path) {
        var world = replay(path);
        var usedByKind = countLimited(path, null);
        var choices = new ArrayList<Choice>();
        var distinctMessages = new HashSet<Long>();
        for (var message : world.messagesInFlight()) {
            if (!distinctMessages.add(StateHash.hashOfMessage(message))) continue;
            choices.add(Choice.of(Choice.Kind.DELIVER, message.label()));
            if (isAllowed(Choice.Kind.REPEAT, usedByKind)) choices.add(Choice.of(Choice.Kind.REPEAT, message.label()));
        }
        for (var peer : world.peers()) {
            choices.add(Choice.of(Choice.Kind.TICK, peer.slot()));
            for (var kind : List.of(Choice.Kind.RESTART, Choice.Kind.POWER, Choice.Kind.LOSE))
                if (isAllowed(kind, usedByKind)) choices.add(Choice.of(kind, peer.slot()));
            if (peer.group().role() == Role.LEADER) addLeaderChoices(world, peer, usedByKind, choices);
        }
        if (isAllowed(Choice.Kind.ADVANCE, usedByKind))
            for (var step : start.advanceMillis()) choices.add(Choice.of(Choice.Kind.ADVANCE, step));
        return choices;
    }

    private void addLeaderChoices(
            World world, Peer leader, Map<Choice.Kind, Integer> usedByKind, List<Choice> choices) {
        if (isAllowed(Choice.Kind.PROPOSE, usedByKind)) choices.add(Choice.of(Choice.Kind.PROPOSE, leader.slot()));
        if (isAllowed(Choice.Kind.PROMOTE, usedByKind)) choices.add(Choice.of(Choice.Kind.PROMOTE, leader.slot()));
        for (var kind : List.of(Choice.Kind.LEARN, Choice.Kind.REMOVE, Choice.Kind.HAND_OVER))
            for (var other : world.peers())
                if (other != leader && isAllowed(kind, usedByKind))
                    choices.add(Choice.of(kind, leader.slot(), other.slot()));
    }

    private boolean isAllowed(Choice.Kind kind, Map<Choice.Kind, Integer> usedByKind) {
        return usedByKind.getOrDefault(kind, 0) < start.limits().getOrDefault(kind, 0);
    }
}
