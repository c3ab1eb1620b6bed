/** The ranges that the directory says the back end beside this daemon owns, and what is on its way to it. */
import { rangeOf } from '../directory/key-ranges.js';
import type { KeyRange } from '../directory/directory-state.js';
import type { DirectoryTable } from './directory-table.js';
import type { LeaseKeeper } from './lease-keeper.js';

/** Where a key is, as seen beside one back end. */
export type KeyPlace =
  /** The back end owns it, or will in a moment. */
  'here' | 'elsewhere';

/** A view of the table from beside one back end. */
export class OwnedRanges {
  constructor(
    private readonly table: DirectoryTable,
    private readonly lease: LeaseKeeper,
    private readonly service: string,
    private readonly instance: () => string | null,
  ) {}

  /** Ranges owned under the present registration. */
  list(): KeyRange[] {
    const { session } = this.lease;
    const id = this.instance();
    if (session === null || id === null) return [];
    return this.table
      .rangesOf(this.service)
      .filter((range) => range.owner === id && range.session === session);
  }

  /** Whether keys are on their way here, or wait for an owner that may be this back end. */
  awaitsKeys(): boolean {
    const id = this.instance();
    if (id === null) return false;
    return this.table.rangesOf(this.service).some(({ movingTo, owner }) => movingTo === id || owner === null);
  }

  /** Where a key belongs. */
  placeOf(key: number): KeyPlace {
    const id = this.instance();
    const range = rangeOf(this.table.rangesOf(this.service), key);
    if (range === null) return 'here';
    if (range.movingTo !== null) return range.movingTo === id ? 'here' : 'elsewhere';
    return range.owner === id ? 'here' : 'elsewhere';
  }

  /** The fence under which a key is owned here; null when it is not. */
  fenceOf(key: number): number | null {
    const { session } = this.lease;
    const range = rangeOf(this.table.rangesOf(this.service), key);
    if (range === null || session === null) return null;
    return range.owner === this.instance() && range.session === session ? range.fence : null;
  }
}
