package craneway.link.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

public final class Startup {
    public static final Set<String> ROUTER = Set.of("name", "zone", "requester", "runner", "operator", "platform", "partner", "seeds");
    public static final Set<String> STORE = Set.of("name", "zone", "operator", "platform", "partner", "seeds", "data", "stores");

    public final String name;
    public final String zone;
    public final String requester;
    public final String runner;
    public final String operator;
    public final String platform;
    public final String partner;
    public final List<String> seeds;
    public final Path data;
    public final int stores;

    private Startup(Map<String, String> v) {
        name = v.get("name");
        zone = v.get("zone");
        requester = v.get("requester");
        runner = v.get("runner");
        operator = v.get("operator");
        platform = v.get("platform");
        partner = v.get("partner");
        seeds = List.of(v.get("seeds").split(","));
        data = v.containsKey("data") ? Path.of(v.get("data")) : null;
        stores = Integer.parseInt(v.getOrDefault("stores", "3"));
    }

    public static Startup of(Path file, Map<String, String> flags, Set<String> wanted) {
        var wrong = new ArrayList<String>();
        var v = new LinkedHashMap<String, String>();
        if (file != null) readFile(file, v, wrong);
        flags.forEach((k, x) -> { if (x != null) v.put(k, x); });
        check(v, wanted, wrong);
        if (!wrong.isEmpty()) throw new BadStartup(wrong);
        return new Startup(v);
    }

    private static void readFile(Path file, Map<String, String> v, List<String> wrong) {
        JsonNode n;
        try {
            n = new ObjectMapper().readTree(Files.readString(file));
        } catch (IOException e) {
            wrong.add("startup file " + file + " cannot be read as JSON: " + e.getMessage().lines().findFirst().orElse(""));
            return;
        }
        if (n == null || !n.isObject()) {
            wrong.add("startup file " + file + " holds no JSON object");
            return;
        }
        n.fields().forEachRemaining(e -> v.put(e.getKey(), text(e.getValue())));
    }

    private static String text(JsonNode n) {
        if (!n.isArray()) return n.asText();
        var all = new ArrayList<String>();
        n.forEach(x -> all.add(x.asText()));
        return String.join(",", all);
    }

    private static void check(Map<String, String> v, Set<String> wanted, List<String> wrong) {
        for (var k : v.keySet()) if (!wanted.contains(k)) wrong.add("unknown value \"" + k + "\"");
        for (var k : wanted.stream().sorted().toList()) {
            if (k.equals("stores") && !v.containsKey(k)) continue;
            if (v.getOrDefault(k, "").isBlank()) wrong.add(k + " is missing");
        }
        for (var k : List.of("name", "zone")) if (v.containsKey(k) && !v.get(k).isBlank() && !v.get(k).matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"))
            wrong.add(k + " \"" + v.get(k) + "\" is not a plain name");
        var used = new HashSet<String>();
        for (var k : List.of("requester", "runner", "operator", "platform", "partner")) {
            if (!v.containsKey(k) || v.get(k).isBlank()) continue;
            if (Addresses.bad(v.get(k))) wrong.add(k + " \"" + v.get(k) + "\" is not IP:PORT");
            else if (!used.add(v.get(k))) wrong.add(k + " " + v.get(k) + " is used twice");
        }
        if (v.containsKey("seeds") && !v.get("seeds").isBlank()) checkSeeds(v.get("seeds"), wrong);
        if (v.containsKey("stores") && !v.get("stores").matches("1|3|5")) wrong.add("stores \"" + v.get("stores") + "\" is none of 1, 3, 5");
        if (v.containsKey("data") && wanted.contains("data") && !v.get("data").isBlank()) checkFolder(Path.of(v.get("data")), wrong);
    }

    private static void checkSeeds(String text, List<String> wrong) {
        var all = List.of(text.split(","));
        for (var s : all) if (Addresses.bad(s)) wrong.add("seed \"" + s + "\" is not IP:PORT");
        if (all.size() != 3 || new HashSet<>(all).size() != 3) wrong.add("seeds must be three different addresses, not " + all.size());
    }

    private static void checkFolder(Path p, List<String> wrong) {
        try {
            Files.createDirectories(p);
            if (!Files.isWritable(p)) wrong.add("data folder " + p + " cannot be written");
        } catch (IOException e) {
            wrong.add("data folder " + p + " cannot be made: " + e.getMessage());
        }
    }
}
