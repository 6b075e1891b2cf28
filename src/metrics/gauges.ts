import { Gauge, type Registry } from "prom-client";

/** Registers a gauge whose value is read at each scrape. */
export function registerGauge(registry: Registry, name: string, help: string, readValue: () => number): void {
    const gauge: Gauge = new Gauge({
        name,
        help,
        registers: [registry],
        collect(): void {
            gauge.set(readValue());
        },
    });
}
