/** Replay files: one simulation with its schedule of faults, as JSON. */
import { z } from 'zod';
import { Err, Ok, type Result } from '../../src/result.js';
import type { SimFault } from './sim-faults.js';

const timing = { atMs: z.number(), lastsMs: z.number() };
const controlTarget = z.union([z.number().int(), z.literal('leader')]);

const faultSchema = z.union([
  z.strictObject({
    kind: z.literal('crash-control'),
    target: controlTarget,
    loseDisk: z.boolean(),
    ...timing,
  }),
  z.strictObject({ kind: z.literal('freeze-control'), target: controlTarget, ...timing }),
  z.strictObject({
    kind: z.literal('cut-control'),
    target: controlTarget,
    directions: z.enum(['both', 'outgoing', 'incoming']),
    ...timing,
  }),
  z.strictObject({
    kind: z.literal('cut-machine'),
    target: z.number().int(),
    from: z.enum(['control', 'everyone']),
    ...timing,
  }),
  z.strictObject({
    kind: z.enum([
      'crash-machine',
      'freeze-machine',
      'freeze-backend',
      'freeze-agent',
      'crash-agent',
      'crash-backend',
      'crash-router',
      'freeze-router',
      'cut-router',
      'drain',
    ]),
    target: z.number().int(),
    ...timing,
  }),
  z.strictObject({ kind: z.literal('operators-race'), ...timing }),
  z.strictObject({ kind: z.literal('many-changes'), count: z.number().int(), ...timing }),
]);

const replaySchema = z.strictObject({
  scenario: z.string(),
  seed: z.number().int(),
  faults: z.array(faultSchema),
});

/** A simulation to replay. */
export interface Replay {
  readonly scenario: string;
  readonly seed: number;
  readonly faults: readonly SimFault[];
}

/** Serializes a replay. */
export function writeReplay(replay: Replay): string {
  return `${JSON.stringify(replay, null, 2)}\n`;
}

/** Parses a replay; the error describes why the text is invalid. */
export function readReplay(text: string): Result<Replay, string> {
  try {
    const parsed = replaySchema.safeParse(JSON.parse(text));
    return parsed.success ? Ok(parsed.data as Replay) : Err(z.prettifyError(parsed.error));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}
