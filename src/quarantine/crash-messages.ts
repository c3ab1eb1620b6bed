/** What daemons beside or in front of back ends tell a leader about runs, and what it answers; the same in both stacks. */
import * as z from 'zod/mini';
import type { CrashCommand } from './crash-commands.js';
import type { CrashRecords } from './crash-records.js';

/** A back end has ended by itself under these runs. */
export const backendEndedSchema = z.object({
  kind: z.literal('backend-ended'),
  /** Comes back with the answer. */
  token: z.number(),
  life: z.string(),
  service: z.string(),
  version: z.string(),
  runs: z.array(z.object({ fingerprint: z.string(), alone: z.boolean() })),
});

/** A back end has answered a run of a watched request, and goes on. */
export const runCompletedSchema = z.object({
  kind: z.literal('run-completed'),
  fingerprint: z.string(),
  version: z.string(),
  isGood: z.boolean(),
});

/** Asks to run a suspect at a life of a back end. */
export const runPermitSchema = z.object({
  kind: z.literal('run-permit'),
  fingerprint: z.string(),
  life: z.string(),
  version: z.string(),
});

/** Gives a permit back; `begun`: a run of it may have begun. */
export const permitReleasedSchema = z.object({
  kind: z.literal('permit-released'),
  fingerprint: z.string(),
  life: z.string(),
  begun: z.boolean(),
});

/** What a daemon tells of runs. */
export type RunRequest =
  | z.infer<typeof backendEndedSchema>
  | z.infer<typeof runCompletedSchema>
  | z.infer<typeof runPermitSchema>
  | z.infer<typeof permitReleasedSchema>;

/** What the leader answers. */
export type RunNotice =
  /** The end of a back end is on record. */
  | { readonly kind: 'end-recorded'; readonly token: number }
  /** A life of a back end may run a suspect once. */
  | { readonly kind: 'run-permitted'; readonly fingerprint: string; readonly life: string };

/** What the leader needs to answer. */
export interface RunRequestPorts {
  readonly records: () => CrashRecords;
  /** Proposes a command; true once it is committed and did what it says. */
  readonly propose: (command: CrashCommand) => Promise<boolean>;
}

/** Answers a daemon, at the leader. */
export async function answerRunRequest(
  request: RunRequest,
  ports: RunRequestPorts,
  answer: (notice: RunNotice) => void,
): Promise<void> {
  switch (request.kind) {
    case 'backend-ended': {
      const { life, service, version, runs, token } = request;
      const recorded = await ports.propose({ kind: 'record-end', life, service, version, runs });
      if (recorded) answer({ kind: 'end-recorded', token });
      break;
    }
    case 'run-completed': {
      const { fingerprint, version, isGood } = request;
      if (ports.records().has(fingerprint)) {
        await ports.propose({ kind: 'record-completion', fingerprint, version, isGood });
      }
      break;
    }
    case 'run-permit': {
      const { fingerprint, life, version } = request;
      const permitted = await ports.propose({ kind: 'permit-run', fingerprint, life, version });
      if (permitted) answer({ kind: 'run-permitted', fingerprint, life });
      break;
    }
    case 'permit-released': {
      const { fingerprint, life, begun } = request;
      await ports.propose({ kind: 'release-permit', fingerprint, life, begun });
      break;
    }
  }
}
