/** Status as text for people. */
import type { ControlStatus } from '../control/control-status.js';

/** Writes the status of all replicas that answered as tables. */
export function formatStatus(statuses: readonly ControlStatus[]): string {
  const newest = statuses.reduce((best, status) => (status.appliedIndex > best.appliedIndex ? status : best));
  const watchers = statuses.flatMap((status) => status.watchers);
  return [
    table(
      ['REPLICA', 'ROLE', 'TERM', 'APPLIED', 'REVISION'],
      statuses.map(({ replica, role, term, appliedIndex, revision }) => [
        replica,
        role,
        term,
        appliedIndex,
        revision,
      ]),
    ),
    table(
      ['SERVICE', 'SHARDS', 'UNOWNED', 'MOVING', 'IMBALANCE'],
      newest.services.map(({ service, shards, unowned, moving, imbalance }) => {
        return [service, shards, unowned, moving, imbalance.toFixed(2)];
      }),
    ),
    table(
      ['BACK END', 'SERVICE', 'SESSION', 'SHARDS', 'STATE'],
      newest.backends.map(({ backend, service, session, shards, draining }) => {
        return [
          backend,
          service,
          session ?? '-',
          shards,
          draining ? 'leaving' : session === null ? 'away' : 'ok',
        ];
      }),
    ),
    table(
      ['DAEMON', 'ROLE', 'ZONE', 'INDEX', 'REVISION'],
      watchers.map(({ name, role, zone, index, revision }) => [name, role, zone, index, revision]),
    ),
  ].join('\n\n');
}

type Cell = string | number;

const COLUMN_GAP = 2;

function table(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const all = [head, ...rows].map((row) => row.map(String));
  const widths = head.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)));
  return all.map((row) => formatRow(row, widths)).join('\n');
}

function formatRow(row: readonly string[], widths: readonly number[]): string {
  return row
    .map((cell, column) => cell.padEnd((widths[column] ?? 0) + COLUMN_GAP))
    .join('')
    .trimEnd();
}
