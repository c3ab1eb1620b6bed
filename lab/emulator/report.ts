/** Renders the results of a benchmark as one self-contained HTML page with plots. */
import { compile, type TopLevelSpec } from 'vega-lite';
import { parse, View } from 'vega';
import type { BenchRow, BenchSummary } from './bench.js';
import { summarizeBench } from './bench.js';
import type { Spread } from './emulation.js';

const MEASURES = [
  { field: 'imbalance', title: 'Imbalance (mean over time of largest over mean load)' },
  { field: 'churn', title: 'Churn (changes of owner after the first placement)' },
  { field: 'unavailableMs', title: 'Unavailable time (ms, sum over shards)' },
  { field: 'p99Ms', title: 'Answer time at the back ends, p99 (ms)' },
] as const;

const STYLE = `body{font:15px/1.5 sans-serif;margin:2rem auto;max-width:70rem;padding:0 1rem}
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2rem .6rem;text-align:right}
td:first-child,td:nth-child(2),th{text-align:left}`;

/** Returns the page as HTML. */
export async function writeReport(rows: readonly BenchRow[]): Promise<string> {
  const plots = await Promise.all(MEASURES.map(async ({ field, title }) => await plot(rows, field, title)));
  const seeds = new Set(rows.map(({ seed }) => seed)).size;
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>aldertide placement bench</title>
<style>${STYLE}</style></head><body><h1>Placement bench</h1>
<p>${seeds} seeds. Points are seeds; the same seed is the same draw of a workload for every policy. Repair times are
those of docs/MEASURES.md; those of the baselines are assumed there.</p>
${plots.join('\n')}
${table(summarizeBench(rows))}</body></html>
`;
}

async function plot(rows: readonly BenchRow[], field: string, title: string): Promise<string> {
  const spec: TopLevelSpec = {
    data: { values: rows.map((row) => ({ ...row })) },
    title,
    width: 110,
    height: 150,
    mark: { type: 'point', filled: true, opacity: 0.7 },
    encoding: {
      column: { field: 'workload', type: 'nominal', title: null, sort: null },
      x: { field: 'policy', type: 'nominal', axis: { labels: false, ticks: false, title: null } },
      y: { field, type: 'quantitative', scale: { type: 'symlog' }, title: null },
      color: { field: 'policy', type: 'nominal', title: null },
      shape: { field: 'policy', type: 'nominal', title: null },
    },
  };
  return await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG();
}

function table(summaries: readonly BenchSummary[]): string {
  const head = MEASURES.map(({ field }) => `<th>${field}</th>`).join('');
  const body = summaries.map((summary) => {
    const cells = MEASURES.map(({ field }) => `<td>${describeSpread(summary[field])}</td>`).join('');
    return `<tr><td>${summary.workload}</td><td>${summary.policy}</td>${cells}</tr>`;
  });
  return `<h2>Median (least to largest)</h2><table><tr><th>workload</th><th>policy</th>${head}</tr>${body.join('')}</table>`;
}

/** Formats a spread as text. */
export function describeSpread({ median, least, largest }: Spread): string {
  const format = (value: number): string => (value >= 100 ? Math.round(value).toString() : value.toFixed(2));
  return `${format(median)} (${format(least)} to ${format(largest)})`;
}
