/** Runs a `sade` command line so that wrong usage ends with one message and the usage exit code. */
import type { Sade } from 'sade';
import { EXIT_CODE } from './exit-code.js';

const SADE_FAILURE = 1;

/** Parses `process.argv` and runs the command; its promise decides the exit code. */
export async function runCommandLine(program: Sade): Promise<void> {
  const exit = process.exit.bind(process);
  // `sade` ends the process with 1 on wrong usage; the commands promise 2 for that.
  process.exit = ((code?: number) =>
    exit(code === SADE_FAILURE ? EXIT_CODE.usage : code)) as typeof process.exit;
  const parsed = program.parse(process.argv, {
    lazy: true,
    unknown: (flag) => `Unknown option: ${flag}`,
  });
  process.exit = exit;
  if (parsed === undefined) return;
  const code: unknown = await (parsed.handler as (...given: unknown[]) => Promise<unknown>)(...parsed.args);
  if (typeof code === 'number') process.exitCode = code;
}

/** Options as `sade` hands them over. */
export type Options = Readonly<Record<string, unknown>>;

/** Text of an option, or null when it was not given. */
export function textOption(options: Options, name: string): string | null {
  const value = options[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : null;
}

/** Number given by an option; `fallback` when it was not given; null when it is not a number. */
export function numberOption(options: Options, name: string, fallback: number): number | null {
  const text = textOption(options, name);
  if (text === null) return fallback;
  const value = Number(text);
  return Number.isFinite(value) ? value : null;
}

/** Prints a usage error. */
export function usageError(message: string): number {
  process.stderr.write(`${message}\n`);
  return EXIT_CODE.usage;
}

/** Prints one JSON value as the last line of the output. */
export function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

/** Prints one line. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
