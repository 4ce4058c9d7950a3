package craneway.sim.model;

import craneway.model.unit.Hash;
import craneway.state.disk.Folder;
import craneway.state.part.GroupListener;
import craneway.state.part.StateMachine;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A hash over everything that determines how a world continues. The group's objects are hashed by reflection over all
 * their fields in the order of declaration.
 */
final class StateHash {
    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();

    /** Collaborators whose state is hashed elsewhere or is fixed. */
    private static final List<Class<?>> IGNORED_TYPES =
            List.of(Random.class, GroupListener.class, Folder.class, StateMachine.class);

    /**
     * The random number by which each log segment distinguishes its records from older ones; the behavior does not
     * depend on it.
     */
    private static final String IGNORED_FIELD = "nonce";

    private final Map<Object, Integer> numberByObject = new IdentityHashMap<>();

    /** The hash of a world; the order of messages in flight does not matter. */
    static long of(World world) {
        var hash = Hash.of(world.now(), world.checker().digest());
        for (var peer : world.peers()) {
            hash = Hash.of(hash, new StateHash().hashOf(peer.group()));
            hash = Hash.of(hash, peer.stateMachine().hash() * 31 + peer.id() * 2 + (peer.isFrozen() ? 1 : 0));
        }
        var messagesHash = 0L;
        for (var message : world.messagesInFlight())
            messagesHash +=
                    Hash.of(hashOfMessage(message), world.postponedLabels().contains(message.label()) ? 1 : 0);
        return Hash.of(
                Hash.of(hash, messagesHash),
                world.tickedSlots().hashCode() * 31L + world.cutLinks().hashCode());
    }

    /**
     * Hashes a message's ends and content but not its label: messages that differ only in the label are
     * interchangeable.
     */
    static long hashOfMessage(InFlightMessage message) {
        return Hash.of(message.from() * 100 + message.to(), new StateHash().hashOf(message.message()));
    }

    private long hashOf(Object value) {
        if (value == null) return 7;
        if (value instanceof Number number) return number.longValue();
        if (value instanceof Boolean || value instanceof String) return value.hashCode();
        if (value instanceof Enum<?> constant) return constant.ordinal() + 11;
        if (value.getClass().isArray()) return hashOfArray(value);
        if (value instanceof Map<?, ?> map) return hashOfMap(map);
        if (value instanceof Set<?> set)
            return set.stream().mapToLong(element -> Hash.mix(hashOf(element))).sum();
        if (value instanceof Collection<?> collection) {
            var hash = 1L;
            for (var element : collection) hash = Hash.of(hash, hashOf(element));
            return hash;
        }
        var ignored = IGNORED_TYPES.stream().anyMatch(type -> type.isInstance(value));
        return ignored || !value.getClass().getName().startsWith("craneway.state") ? 3 : hashOfFields(value);
    }

    private long hashOfArray(Object array) {
        var hash = 5L;
        for (var i = 0; i < Array.getLength(array); i++) hash = Hash.of(hash, hashOf(Array.get(array, i)));
        return hash;
    }

    private long hashOfMap(Map<?, ?> map) {
        var hash = 13L;
        for (var entry : map.entrySet()) hash += Hash.of(hashOf(entry.getKey()), hashOf(entry.getValue()));
        return hash;
    }

    /** An object that was visited before is represented by its number, so that cycles end. */
    private long hashOfFields(Object object) {
        var earlierNumber = numberByObject.putIfAbsent(object, numberByObject.size());
        if (earlierNumber != null) return earlierNumber;
        var hash = 17L;
        try {
            for (var field : FIELDS.computeIfAbsent(object.getClass(), StateHash::fieldsOf))
                hash = Hash.of(hash, hashOf(field.get(object)));
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
        return hash;
    }

    private static List<Field> fieldsOf(Class<?> type) {
        var fields = new ArrayList<Field>();
        for (var field : type.getDeclaredFields()) {
            if (Modifier.isStatic(field.getModifiers())
                    || field.isSynthetic()
                    || field.getName().equals(IGNORED_FIELD)) continue;
            field.setAccessible(true);
            fields.add(field);
        }
        return fields;
    }
}
