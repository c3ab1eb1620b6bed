/** Runs a `sade` command line; incorrect usage prints one message and exits with the usage exit code. */
import type { Sade } from 'sade';
import { EXIT_CODE } from './exit-code.js';

const SADE_USAGE_ERROR = 1;

/** Parses `process.argv` and runs the command; a number that it resolves to becomes the exit code. */
export async function runCommandLine(program: Sade): Promise<void> {
  const exit = process.exit.bind(process);
  // `sade` exits with 1 on incorrect usage; the documented exit code is 2.
  process.exit = ((code?: number) =>
    exit(code === SADE_USAGE_ERROR ? EXIT_CODE.usage : code)) as typeof process.exit;
  const parsed = program.parse(process.argv, {
    lazy: true,
    unknown: (flag) => `Unknown option: ${flag}`,
  });
  process.exit = exit;
  if (parsed === undefined) return;
  const code: unknown = await (parsed.handler as (...given: unknown[]) => Promise<unknown>)(...parsed.args);
  if (typeof code === 'number') process.exitCode = code;
}

/** Options as parsed by `sade`. */
export type Options = Readonly<Record<string, unknown>>;

/** Returns the text of an option, or null if it was not given. */
export function textOption(options: Options, name: string): string | null {
  const value = options[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : null;
}

/** Returns the number in an option, `fallback` if the option was not given, or null if its text is not a number. */
export function numberOption(options: Options, name: string, fallback: number): number | null {
  const text = textOption(options, name);
  if (text === null) return fallback;
  const value = Number(text);
  return Number.isFinite(value) ? value : null;
}

/** Prints a usage error and returns the usage exit code. */
export function usageError(message: string): number {
  process.stderr.write(`${message}\n`);
  return EXIT_CODE.usage;
}

/** Prints one JSON value on a line. */
export function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

/** Prints one line. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
