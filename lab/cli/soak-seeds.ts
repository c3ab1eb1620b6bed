/** Seeds of a soak command: its options, and playing some of them side by side. */
import { execFileSync } from 'node:child_process';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { numberOption, textOption, type Options } from '../../src/cli/command-line.js';
import { Err, Ok, type Result } from '../../src/result.js';

/** Root of the repository, as seen from the compiled file. */
const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Seeds to play, and the paths of what they use. */
export interface SoakSeeds {
  readonly seeds: readonly number[];
  readonly sideBySide: number;
  /** Bundled program of the platform, and folder for settings, logs and data. */
  readonly program: string;
  readonly folder: string;
}

/** Reads `--seed`, `--count`, `--jobs` and `--folder`; the error is a usage message. */
export function readSoakSeeds(options: Options, mostSideBySide: number): Result<SoakSeeds, string> {
  const first = numberOption(options, 'seed', 1);
  const count = numberOption(options, 'count', 1);
  const sideBySide = numberOption(options, 'jobs', 1);
  if (first === null || count === null || sideBySide === null)
    return Err('--seed, --count and --jobs take numbers');
  if (sideBySide < 1 || sideBySide > mostSideBySide)
    return Err(`--jobs takes a number from 1 to ${mostSideBySide}`);
  return Ok({
    seeds: Array.from({ length: count }, (_, at) => first + at),
    sideBySide,
    program: join(ROOT, 'target', 'aldertide.cjs'),
    folder: textOption(options, 'folder') ?? join(ROOT, 'runs', 'soak'),
  });
}

/** Builds the program and plays the seeds, each with `play`; returns their reports in the order of their ends. */
export async function playSoakSeeds<T>(
  { seeds, sideBySide }: SoakSeeds,
  play: (seed: number) => Promise<T>,
): Promise<T[]> {
  execFileSync(process.execPath, ['deploy/build.mjs'], { cwd: ROOT, stdio: 'ignore' });
  const reports: T[] = [];
  const remaining = seeds[Symbol.iterator]();
  const player = async (): Promise<void> => {
    for (const seed of remaining) reports.push(await play(seed));
  };
  await Promise.all(Array.from({ length: sideBySide }, player));
  return reports;
}
