package craneway.api.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.control.store.PartStatus;
import craneway.http.JsonResponses;
import craneway.model.unit.Parts;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.List;
import java.util.TreeMap;

final class StatusJson {
    private StatusJson() {}

    static ObjectNode of(String node, List<PartStatus> parts) {
        var n = JsonResponses.JSON.createObjectNode();
        n.put("node", node);
        n.put("partsReached", parts.size());
        n.put("parts", Parts.COUNT);
        var members = new TreeMap<String, ObjectNode>();
        var list = n.putArray("groups");
        for (var p : parts) {
            var g = list.addObject();
            g.put("part", p.part)
                    .put("owner", p.leader)
                    .put("term", p.term)
                    .put("applied", p.appliedIndex)
                    .put("claims", p.claimCount);
            p.groupMembers.forEach(g.putArray("group")::add);
            for (var m : p.members) members.merge(m.node.name, member(m), StatusJson::worse);
            if (p.part == Parts.MANIFEST_PART) manifest(n, p);
        }
        n.putArray("members").addAll(members.values());
        var services = n.putArray("services");
        for (var p : parts) for (var s : p.services) service(services.addObject(), s, p);
        return n;
    }

    private static ObjectNode worse(ObjectNode a, ObjectNode b) {
        return a.get("state").asText().equals("lapsed") ? a : b;
    }

    private static void manifest(ObjectNode n, PartStatus p) {
        var m = n.putObject("manifest");
        m.put("version", p.manifest.version);
        p.manifest.marks.forEach(m.putObject("marks")::put);
        var plans = n.putArray("plans");
        p.plans.forEach(x -> plans.add(plan(x)));
    }

    private static ObjectNode member(Rows.Member m) {
        return JsonResponses.JSON
                .createObjectNode()
                .put("name", m.node.name)
                .put("kind", m.node.kind)
                .put("zone", m.node.zone)
                .put("address", m.node.peerAddress)
                .put("incarnation", m.node.incarnation)
                .put("state", m.lapsed ? "lapsed" : "live");
    }

    private static void service(ObjectNode n, Rows.Service s, PartStatus p) {
        n.put("name", s.name).put("part", p.part).put("tableVersion", s.tableVersion);
        var cells = n.putArray("cells");
        for (var c = 0; c < s.cells.size(); c++) {
            var units = 0;
            for (var u = 100; u < s.homeCells.length; u++) if (s.homeCells[u] == c) units++;
            cells.addObject()
                    .put("name", s.cells.get(c))
                    .put("zone", s.zones.get(c))
                    .put("region", s.cellRegions.get(c))
                    .put("units", units)
                    .put("runnersUp", s.countRunnersUp(c))
                    .put("load", sum(s, c, p, false))
                    .put("slots", sum(s, c, p, true));
        }
        n.put("displacedUnits", s.displacedUnits.length);
        s.heldBackUntilAge.keySet().forEach(n.putArray("heldBack")::add);
        var steps = n.putArray("steps");
        s.steps.stream().skip(Math.max(0, s.steps.size() - 8)).forEach(x -> steps.addObject()
                .put("step", x.id)
                .put("units", x.units.length)
                .put("to", s.cells.get(x.toCell))
                .put("state", x.stateName())
                .put("cause", x.cause)
                .put("tableVersion", x.tableVersion));
        var runners = n.putArray("runners");
        for (var r : s.runners.values())
            runners.addObject()
                    .put("name", r.name)
                    .put("cell", r.cell)
                    .put("address", r.address)
                    .put("state", r.stateName())
                    .put("slots", r.slots)
                    .put("load", p.loadByRunner.getOrDefault(s.name + "/" + r.name, 0))
                    .put("cold", r.cold)
                    .put("incarnation", r.incarnation);
    }

    private static int sum(Rows.Service s, int cell, PartStatus p, boolean slots) {
        return s.runners.values().stream()
                .filter(r -> r.isUp() && r.cell.equals(s.cells.get(cell)))
                .mapToInt(r -> slots ? r.slots : p.loadByRunner.getOrDefault(s.name + "/" + r.name, 0))
                .sum();
    }

    static ObjectNode plan(Plan p) {
        var n = JsonResponses.JSON.createObjectNode();
        n.put("plan", p.id)
                .put("intent", p.intent)
                .put("state", p.stateName())
                .put("manifestVersion", p.manifestVersion)
                .put("marksVersion", p.marksVersion);
        p.steps.forEach(n.putArray("steps")::add);
        p.loads.forEach(n.putArray("loads")::add);
        p.warnings.forEach(n.putArray("warnings")::add);
        if (!p.stopCause.isEmpty()) n.put("cause", p.stopCause);
        return n;
    }
}
