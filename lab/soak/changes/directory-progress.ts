/** Reads from a directory's metrics how far it has applied the replicated log. */
import { get } from 'node:http';
import { STAND_IN_PORTS } from '../../../platform/stand-in-wire.js';

const TIMEOUT_MS = 2_000;

/** What a directory has applied. */
export interface DirectoryProgress {
  readonly revision: number;
  readonly appliedIndex: number;
  readonly leads: boolean;
  /** Whether it votes, and the number of voters that it knows. */
  readonly votes: boolean;
  readonly voters: number;
}

/** Returns what a directory has applied; null without an answer. */
export async function directoryProgress(ip: string): Promise<DirectoryProgress | null> {
  const text = await readMetrics(ip);
  if (text === null) return null;
  return {
    revision: metric(text, 'configuration_revision'),
    appliedIndex: metric(text, 'raft_applied_index'),
    leads: metric(text, 'raft_is_leader') === 1,
    votes: metric(text, 'raft_is_voter') === 1,
    voters: metric(text, 'raft_voters'),
  };
}

async function readMetrics(ip: string): Promise<string | null> {
  return await new Promise((resolve) => {
    const call = get({ host: ip, port: STAND_IN_PORTS.metrics, path: '/metrics', agent: false }, (answer) => {
      let text = '';
      answer.setEncoding('utf8');
      answer.on('data', (chunk: string) => (text += chunk));
      answer.on('error', () => undefined);
      answer.on('end', () => {
        resolve(text);
      });
      answer.on('close', () => {
        resolve(null);
      });
    });
    call.setTimeout(TIMEOUT_MS, () => call.destroy());
    call.on('error', () => {
      resolve(null);
    });
  });
}

function metric(text: string, name: string): number {
  const match = new RegExp(`^\\S*${name} (\\d+)$`, 'm').exec(text);
  return match === null ? -1 : Number(match[1]);
}
