package craneway.api.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.control.store.PartStatus;
import craneway.http.JsonResponses;
import craneway.model.unit.Parts;
import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.List;
import java.util.TreeMap;

/** Writes the status of the core and plans as JSON for operators. */
final class StatusJson {
    private StatusJson() {}

    /** Returns the status as seen by this node, from the parts that replied. */
    static ObjectNode of(String node, List<PartStatus> parts) {
        var root = JsonResponses.JSON.createObjectNode();
        root.put("node", node);
        root.put("partsReached", parts.size());
        root.put("parts", Parts.PART_COUNT);
        var members = new TreeMap<String, ObjectNode>();
        var groups = root.putArray("groups");
        for (var part : parts) {
            var group = groups.addObject();
            group.put("part", part.part)
                    .put("owner", part.leader)
                    .put("term", part.term)
                    .put("applied", part.appliedIndex)
                    .put("claims", part.claimCount);
            part.groupMembers.forEach(group.putArray("group")::add);
            for (var member : part.members) members.merge(member.node.name, memberJson(member), StatusJson::lapsedOf);
            if (part.part == Parts.MANIFEST_PART) addManifest(root, part);
        }
        root.putArray("members").addAll(members.values());
        var services = root.putArray("services");
        for (var part : parts) for (var service : part.services) addService(services.addObject(), service, part);
        return root;
    }

    /** Returns the entry whose lease has lapsed, if either has: parts may disagree about a member. */
    private static ObjectNode lapsedOf(ObjectNode first, ObjectNode second) {
        return first.get("state").asText().equals("lapsed") ? first : second;
    }

    private static void addManifest(ObjectNode root, PartStatus part) {
        var manifest = root.putObject("manifest");
        manifest.put("version", part.manifest.version);
        part.manifest.marks.forEach(manifest.putObject("marks")::put);
        var plans = root.putArray("plans");
        part.plans.forEach(plan -> plans.add(plan(plan)));
    }

    private static ObjectNode memberJson(Rows.Member member) {
        return JsonResponses.JSON
                .createObjectNode()
                .put("name", member.node.name)
                .put("kind", member.node.kind)
                .put("zone", member.node.zone)
                .put("address", member.node.peerAddress)
                .put("incarnation", member.node.incarnation)
                .put("state", member.lapsed ? "lapsed" : "live");
    }

    private static void addService(ObjectNode json, Rows.Service service, PartStatus part) {
        json.put("name", service.name).put("part", part.part).put("tableVersion", service.tableVersion);
        var cells = json.putArray("cells");
        for (var cell = 0; cell < service.cells.size(); cell++) {
            var units = 0;
            // Units below 100 belong to the empty region set and are never used.
            for (var unit = 100; unit < service.homeCells.length; unit++) if (service.homeCells[unit] == cell) units++;
            cells.addObject()
                    .put("name", service.cells.get(cell))
                    .put("zone", service.zones.get(cell))
                    .put("region", service.cellRegions.get(cell))
                    .put("units", units)
                    .put("runnersUp", service.countRunnersUp(cell))
                    .put("load", totalInCell(service, cell, part, false))
                    .put("slots", totalInCell(service, cell, part, true));
        }
        json.put("displacedUnits", service.displacedUnits.length);
        service.heldBackUntilAge.keySet().forEach(json.putArray("heldBack")::add);
        var steps = json.putArray("steps");
        // Only the latest eight steps are shown.
        service.steps.stream().skip(Math.max(0, service.steps.size() - 8)).forEach(step -> steps.addObject()
                .put("step", step.id)
                .put("units", step.units.length)
                .put("to", service.cells.get(step.toCell))
                .put("state", step.stateName())
                .put("cause", step.cause)
                .put("tableVersion", step.tableVersion));
        var runners = json.putArray("runners");
        for (var runner : service.runners.values())
            runners.addObject()
                    .put("name", runner.name)
                    .put("cell", runner.cell)
                    .put("address", runner.address)
                    .put("state", runner.stateName())
                    .put("slots", runner.slots)
                    .put("load", part.loadByRunner.getOrDefault(service.name + "/" + runner.name, 0))
                    .put("cold", runner.cold)
                    .put("incarnation", runner.incarnation);
    }

    /** Returns the total slots, or else the total load, of the runners in a cell that are up. */
    private static int totalInCell(Rows.Service service, int cell, PartStatus part, boolean countSlots) {
        return service.runners.values().stream()
                .filter(runner -> runner.isUp() && runner.cell.equals(service.cells.get(cell)))
                .mapToInt(runner ->
                        countSlots ? runner.slots : part.loadByRunner.getOrDefault(service.name + "/" + runner.name, 0))
                .sum();
    }

    /** Returns a plan as JSON. */
    static ObjectNode plan(Plan plan) {
        var json = JsonResponses.JSON.createObjectNode();
        json.put("plan", plan.id)
                .put("intent", plan.intent)
                .put("state", plan.stateName())
                .put("manifestVersion", plan.manifestVersion)
                .put("marksVersion", plan.marksVersion);
        plan.steps.forEach(json.putArray("steps")::add);
        plan.loads.forEach(json.putArray("loads")::add);
        plan.warnings.forEach(json.putArray("warnings")::add);
        if (!plan.stopCause.isEmpty()) json.put("cause", plan.stopCause);
        return json;
    }
}
