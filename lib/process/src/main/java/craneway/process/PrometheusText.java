package craneway.process;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Collects metrics and renders them in the Prometheus text format. Every name gets the prefix {@code craneway_}, and
 * the format appends {@code _total} to counters.
 */
final class PrometheusText {
    private final List<MetricSnapshot> metrics = new ArrayList<>();

    /** Adds a counter without labels. */
    PrometheusText addCounter(String name, String help, long value) {
        metrics.add(CounterSnapshot.builder()
                .name("craneway_" + name)
                .help(help)
                .dataPoint(CounterDataPointSnapshot.builder().value(value).build())
                .build());
        return this;
    }

    /** Adds a counter with one label and a value for each value of the label. */
    PrometheusText addCounters(String name, String help, String label, Map<String, Long> valueByLabel) {
        var builder = CounterSnapshot.builder().name("craneway_" + name).help(help);
        valueByLabel.forEach((labelValue, value) -> builder.dataPoint(CounterDataPointSnapshot.builder()
                .labels(Labels.of(label, labelValue))
                .value(value)
                .build()));
        metrics.add(builder.build());
        return this;
    }

    /** Adds a gauge without labels. */
    PrometheusText addGauge(String name, String help, long value) {
        metrics.add(GaugeSnapshot.builder()
                .name("craneway_" + name)
                .help(help)
                .dataPoint(GaugeDataPointSnapshot.builder().value(value).build())
                .build());
        return this;
    }

    /** Adds a gauge with one label and a value for each value of the label. */
    PrometheusText addGauges(String name, String help, String label, Map<String, Long> valueByLabel) {
        var builder = GaugeSnapshot.builder().name("craneway_" + name).help(help);
        valueByLabel.forEach((labelValue, value) -> builder.dataPoint(GaugeDataPointSnapshot.builder()
                .labels(Labels.of(label, labelValue))
                .value(value)
                .build()));
        metrics.add(builder.build());
        return this;
    }

    /** Returns all metrics added so far as text. */
    String render() {
        var out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, new MetricSnapshots(metrics));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
