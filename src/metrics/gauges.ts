import { Gauge, type Registry } from "prom-client";

/** Adds a gauge whose value is read when the metrics are. */
export function registerGauge(registry: Registry, name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
        name,
        help,
        registers: [registry],
        collect(): void {
            gauge.set(read());
        },
    });
}
