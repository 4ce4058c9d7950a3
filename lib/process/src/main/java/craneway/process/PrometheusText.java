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

final class PrometheusText {
    private final List<MetricSnapshot> all = new ArrayList<>();

    PrometheusText addCounter(String name, String help, long v) {
        all.add(CounterSnapshot.builder()
                .name("craneway_" + name)
                .help(help)
                .dataPoint(CounterDataPointSnapshot.builder().value(v).build())
                .build());
        return this;
    }

    PrometheusText addCounters(String name, String help, String label, Map<String, Long> values) {
        var b = CounterSnapshot.builder().name("craneway_" + name).help(help);
        values.forEach((k, v) -> b.dataPoint(CounterDataPointSnapshot.builder()
                .labels(Labels.of(label, k))
                .value(v)
                .build()));
        all.add(b.build());
        return this;
    }

    PrometheusText addGauge(String name, String help, long v) {
        all.add(GaugeSnapshot.builder()
                .name("craneway_" + name)
                .help(help)
                .dataPoint(GaugeDataPointSnapshot.builder().value(v).build())
                .build());
        return this;
    }

    PrometheusText addGauges(String name, String help, String label, Map<String, Long> values) {
        var b = GaugeSnapshot.builder().name("craneway_" + name).help(help);
        values.forEach((k, v) -> b.dataPoint(GaugeDataPointSnapshot.builder()
                .labels(Labels.of(label, k))
                .value(v)
                .build()));
        all.add(b.build());
        return this;
    }

    String render() {
        var out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, new MetricSnapshots(all));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
