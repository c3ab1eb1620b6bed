/** `aldertide-lab slopes`. */
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import { printJson, printLine, type Options } from '../../src/cli/command-line.js';
import { measureSlopes, type MeasuredSlope } from '../bench/slopes.js';

/** Measures the slopes that docs/CAPACITY.md is worked out from. */
export async function slopesCommand(options: Options): Promise<number> {
  const slopes = await measureSlopes();
  if (options['json'] === true) printJson({ slopes });
  else for (const slope of slopes) printLine(describe(slope));
  return EXIT_CODE.done;
}

function describe({ what, unit, per, slope }: MeasuredSlope): string {
  const points = slope.points
    .map(({ size, value }) => `${size}: ${value.toFixed(value < 100 ? 1 : 0)}`)
    .join(', ');
  const line = `${slope.perUnit.toPrecision(3)} ${unit} a ${per} + ${slope.base.toPrecision(3)}`;
  return `${what}: ${line} (furthest point ${(slope.spread * 100).toFixed(0)}% off; ${points})`;
}
