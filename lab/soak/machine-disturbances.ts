/** Ways to disturb the machines of a soak that several kinds of soak share. */
import { mkdirSync, rmSync } from 'node:fs';
import type { DirectionState } from '../delayed-direction.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';

/** Directions of a machine's links, as seen from the machine. */
export type LinkDirections = 'both' | 'outgoing' | 'incoming';

const CLEAR: DirectionState = { delayMs: 0, held: false };

/** Changes the links between a machine and all others; the returned function clears them. */
export function degradeLinks(
  { network, directories, sidecars }: SoakFleet,
  { name }: SoakMachine,
  directions: LinkDirections,
  state: Partial<DirectionState>,
): () => void {
  const others = [...directories, ...sidecars].filter((other) => other.name !== name);
  for (const other of others) {
    if (directions !== 'incoming') network.set(name, other.name, state);
    if (directions !== 'outgoing') network.set(other.name, name, state);
  }
  return () => {
    for (const other of others) {
      network.set(name, other.name, { ...CLEAR, bytesPerMs: Infinity });
      network.set(other.name, name, { ...CLEAR, bytesPerMs: Infinity });
    }
  };
}

/** Replaces the disk of a machine whose process has ended by an empty one. */
export function loseDisk({ dataFolder }: SoakMachine): void {
  if (dataFolder === null) return;
  rmSync(dataFolder, { recursive: true, force: true });
  mkdirSync(dataFolder, { recursive: true });
}
