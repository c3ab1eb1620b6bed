/** Formats status as human-readable tables. */
import type { ControlStatus } from '../control/control-status.js';
import type { CrashReport } from '../quarantine/crash-report.js';

/** Formats the requests that crash back ends as a table. */
export function formatCrashes(reports: readonly CrashReport[]): string {
  if (reports.length === 0) return 'no request is known to crash back ends';
  return formatTable(
    ['REQUEST', 'SERVICE', 'STAGE', 'ENDS', 'RUNS LEFT', 'ENDED', 'RAN WELL'],
    reports.map(({ fingerprint, service, stage, ends, runsLeft, endedVersions, goodVersions }) => {
      return [fingerprint, service, stage, ends, runsLeft, endedVersions.join(' '), goodVersions.join(' ')];
    }),
  );
}

/** Formats the status of all replicas that answered as tables. */
export function formatStatus(statuses: readonly ControlStatus[]): string {
  const newest = statuses.reduce((best, status) => (status.appliedIndex > best.appliedIndex ? status : best));
  const watchers = statuses.flatMap((status) => status.watchers);
  return [
    formatTable(
      ['REPLICA', 'ROLE', 'TERM', 'APPLIED', 'REVISION'],
      statuses.map(({ replica, role, term, appliedIndex, revision }) => [
        replica,
        role,
        term,
        appliedIndex,
        revision,
      ]),
    ),
    formatTable(
      ['SERVICE', 'SHARDS', 'UNOWNED', 'MOVING', 'IMBALANCE'],
      newest.services.map(({ service, shards, unowned, moving, imbalance }) => {
        return [service, shards, unowned, moving, imbalance.toFixed(2)];
      }),
    ),
    formatTable(
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
    ...evacuationTables(newest.evacuatedZones),
    formatTable(
      ['DAEMON', 'ROLE', 'ZONE', 'INDEX', 'REVISION'],
      watchers.map(({ name, role, zone, index, revision }) => [name, role, zone, index, revision]),
    ),
  ].join('\n\n');
}

/** Table of evacuated zones; replicas of versions without zone evacuation report none. */
function evacuationTables(zones: readonly string[] = []): string[] {
  return zones.length === 0
    ? []
    : [
        formatTable(
          ['EVACUATED ZONE'],
          zones.map((zone) => [zone]),
        ),
      ];
}

type Cell = string | number;

const COLUMN_GAP = 2;

function formatTable(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
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
