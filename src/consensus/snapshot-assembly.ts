/** Collects the parts of one snapshot that a leader sends, in order and within a limit in bytes. */
import { readText } from '../model/value-text.js';
import type { SnapshotPart, SnapshotPosition } from './raft-types.js';

/** Content of a snapshot whose parts have all arrived. */
export interface AssembledSnapshot {
  readonly position: SnapshotPosition;
  readonly data: unknown;
}

/** State after a part: the offset of the next one that is expected, or the whole snapshot. */
export type AssemblyStep =
  | { readonly kind: 'expecting'; readonly offset: number }
  | ({ readonly kind: 'complete' } & AssembledSnapshot);

interface Collection {
  readonly index: number;
  readonly totalBytes: number;
  readonly chunks: Buffer[];
  bytes: number;
}

const RESTART: AssemblyStep = { kind: 'expecting', offset: 0 };

/** The snapshot that is being received. A transfer of a later position replaces it; the owner clears it when the term changes. */
export class SnapshotAssembly {
  private collection: Collection | null = null;

  /** @param maxBytes size in bytes above which a snapshot is refused */
  constructor(private readonly maxBytes: number) {}

  /** Bytes collected so far. */
  get bytes(): number {
    return this.collection?.bytes ?? 0;
  }

  /** Adds a part if it is the next one; a repeated or later one changes nothing. */
  add(part: SnapshotPart): AssemblyStep {
    const collection = this.collectionFor(part);
    if (collection === null) return RESTART;
    if (part.offset === collection.bytes) this.append(collection, Buffer.from(part.content, 'base64'));
    if (collection.bytes < collection.totalBytes) return { kind: 'expecting', offset: collection.bytes };
    this.clear();
    return assemble(collection) ?? RESTART;
  }

  /** Discards what was collected. */
  clear(): void {
    this.collection = null;
  }

  /** Discards what was collected of a snapshot up to `index`, which is no longer needed. */
  discardUpTo(index: number): void {
    if (this.collection !== null && this.collection.index <= index) this.clear();
  }

  private append(collection: Collection, chunk: Buffer): void {
    if (collection.bytes + chunk.length > collection.totalBytes) return;
    collection.chunks.push(chunk);
    collection.bytes += chunk.length;
  }

  private collectionFor(part: SnapshotPart): Collection | null {
    const { collection } = this;
    const { totalBytes } = part;
    const { index } = part.position;
    if (collection?.index === index && collection.totalBytes === totalBytes) return collection;
    const isOlder = collection !== null && index < collection.index;
    if (isOlder || part.offset !== 0 || totalBytes > this.maxBytes) return null;
    this.collection = { index, totalBytes, chunks: [], bytes: 0 };
    return this.collection;
  }
}

/** Parses the text of `{ position, data }`; null if it is damaged. */
function assemble({ chunks, totalBytes, index }: Collection): AssemblyStep | null {
  try {
    const text = Buffer.concat(chunks, totalBytes).toString('utf8');
    const { position, data } = readText(text) as AssembledSnapshot;
    return position.index === index ? { kind: 'complete', position, data } : null;
  } catch {
    return null;
  }
}
