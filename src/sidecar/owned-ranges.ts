/** Ranges that the local back end owns according to the directory, and ranges being moved to it. */
import { rangeOf } from '../directory/key-ranges.js';
import type { KeyRange } from '../directory/directory-state.js';
import type { DirectoryTable } from './directory-table.js';
import type { LeaseKeeper } from './lease-keeper.js';

/** Location of a key relative to the local back end. */
export type KeyLocation =
  /** The back end owns the key or is about to. */
  'here' | 'elsewhere';

/** View of the directory table for one back end. */
export class OwnedRanges {
  constructor(
    private readonly table: DirectoryTable,
    private readonly lease: LeaseKeeper,
    private readonly service: string,
    private readonly instance: () => string | null,
  ) {}

  /** Returns the ranges owned under the present registration. */
  list(): KeyRange[] {
    const { session } = this.lease;
    const id = this.instance();
    if (session === null || id === null) return [];
    return this.table
      .rangesOf(this.service)
      .filter((range) => range.owner === id && range.session === session);
  }

  /** Whether keys are being moved here, or wait for an owner, which may be this back end. */
  awaitsKeys(): boolean {
    const id = this.instance();
    if (id === null) return false;
    return this.table.rangesOf(this.service).some(({ movingTo, owner }) => movingTo === id || owner === null);
  }

  /** Returns the location of a key. */
  locationOf(key: number): KeyLocation {
    const id = this.instance();
    const range = rangeOf(this.table.rangesOf(this.service), key);
    if (range === null) return 'here';
    if (range.movingTo !== null) return range.movingTo === id ? 'here' : 'elsewhere';
    return range.owner === id ? 'here' : 'elsewhere';
  }

  /** Returns the fence under which a key is owned here; null if it is not. */
  fenceOf(key: number): number | null {
    const { session } = this.lease;
    const range = rangeOf(this.table.rangesOf(this.service), key);
    if (range === null || session === null) return null;
    return range.owner === this.instance() && range.session === session ? range.fence : null;
  }
}
