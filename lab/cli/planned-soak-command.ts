/** `aldertide-lab planned-soak`. */
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import {
  numberOption,
  printJson,
  printLine,
  textOption,
  usageError,
  type Options,
} from '../../src/cli/command-line.js';
import { PLANNED_WORK_KINDS } from '../soak/planned-work-plan.js';
import { CALLER_GROUPS, type CallerGroup } from '../soak/planned-work-requests.js';
import { AnswerTimes, formatAnswers } from '../soak/answer-times.js';
import { runPlannedWork, type PlannedWorkReport } from '../soak/planned-work-run.js';
import { playSoakSeeds, readSoakSeeds } from './soak-seeds.js';

/** Seeds that run side by side, and back ends of each of the two services. */
const MOST_SIDE_BY_SIDE = 4;
const MIN_BACKENDS = 2;
const MAX_BACKENDS = 75;

/** `planned-soak`. */
export async function plannedSoakCommand(options: Options): Promise<number> {
  const seeds = readSoakSeeds(options, MOST_SIDE_BY_SIDE);
  if (seeds.err) return usageError(seeds.val);
  const backendsPerService = numberOption(options, 'backends', 3);
  if (backendsPerService === null) return usageError('--backends takes a number');
  if (backendsPerService < MIN_BACKENDS || backendsPerService > MAX_BACKENDS)
    return usageError(`--backends takes a number from ${MIN_BACKENDS} to ${MAX_BACKENDS}`);
  const only = textOption(options, 'only')?.split(',') ?? null;
  const kinds = PLANNED_WORK_KINDS.filter((kind) => only?.includes(kind) ?? true);
  if (only !== null && kinds.length !== only.length)
    return usageError(`--only takes kinds of ${PLANNED_WORK_KINDS.join(', ')}, separated by commas`);
  const { program, folder } = seeds.val;
  const reports = await playSoakSeeds(seeds.val, async (seed) => {
    const report = await runPlannedWork({ seed, kinds, backendsPerService, program, folder });
    process.stderr.write(`${formatReport(report)}\n`);
    return report;
  });
  return summarize(reports, options);
}

function formatReport({
  seed,
  grantMode,
  linkMbps,
  counts,
  answers,
  owed,
  changes,
  work,
  longestStallMs,
  violations,
  notes,
}: PlannedWorkReport): string {
  const outcomes = `${counts.answered} answered, ${counts.refused} refused, ${counts.failed} failed, ${counts.closed} closed`;
  const requests = `${counts.sent} requests: ${outcomes}, ${counts.incomplete} not sent completely`;
  const link = linkMbps === undefined ? 'fast links' : `links of ${linkMbps} Mbit/s`;
  const head = `seed ${seed} (${grantMode}, ${link}): ${requests}; ${changes} changes; ${work.join(', ')}; longest stall ${Math.round(longestStallMs)} ms`;
  const broken = violations.map(({ promise, detail }) => `  BROKEN ${promise}: ${detail}`);
  const groups = CALLER_GROUPS.map((group) => `  ${group}: ${formatAnswers(answers[group].summary())}`);
  const kinds = `  owed answers: ${formatCounts(owed)}`;
  return [head, ...groups, kinds, ...broken, ...notes.map((note) => `  noted: ${note}`)].join('\n');
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  const texts = Object.entries(counts).map(([name, count]) => `${count} ${name}`);
  return texts.length === 0 ? 'none missing' : texts.join(', ');
}

/** Adds up the requests without the answer that they were owed, by kind. */
function sumOwed(reports: readonly PlannedWorkReport[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const { owed } of reports)
    for (const [kind, count] of Object.entries(owed)) sums[kind] = (sums[kind] ?? 0) + count;
  return sums;
}

/** Adds up the answers of each group of callers. */
function sumAnswers(reports: readonly PlannedWorkReport[], group: CallerGroup): AnswerTimes {
  const sum = new AnswerTimes();
  for (const { answers } of reports) sum.add(answers[group]);
  return sum;
}

function summarize(reports: readonly PlannedWorkReport[], options: Options): number {
  const violations = reports.flatMap(({ seed, violations: found }) =>
    found.map((violation) => ({ seed, ...violation })),
  );
  const requests = reports.reduce((sum, { counts }) => sum + counts.sent, 0);
  const work = reports.flatMap((report) => report.work);
  const owed = sumOwed(reports);
  const answers = CALLER_GROUPS.map((group) => ({ group, ...sumAnswers(reports, group).summary() }));
  if (options['json'] === true)
    printJson({ seeds: reports.map(({ seed }) => seed), requests, work, owed, answers, violations });
  else {
    for (const { group, ...summary } of answers) printLine(`${group}: ${formatAnswers(summary)}`);
    printLine(`owed answers: ${formatCounts(owed)}`);
    printLine(
      `${reports.length} seeds, ${requests} requests, ${work.length} times planned work, ${violations.length} broken`,
    );
  }
  return violations.length === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}
