/** Where each entry of a log file lies. Entries are contiguous by index. */

/** Place of one record in a file. */
export interface RecordPlace {
  readonly index: number;
  readonly offset: number;
  /** Length of the record in bytes, with its header. */
  readonly bytes: number;
}

/** Offsets and terms of the entries of a log file. */
export class LogIndex {
  private first = 0;
  private end = 0;
  private offsets: number[] = [];
  private terms: number[] = [];

  /** Number of entries. */
  get count(): number {
    return this.offsets.length;
  }

  /** Index of the first entry; 0 when there is none. */
  get firstIndex(): number {
    return this.count === 0 ? 0 : this.first;
  }

  /** Index of the last entry; 0 when there is none. */
  get lastIndex(): number {
    return this.count === 0 ? 0 : this.first + this.count - 1;
  }

  /** Offset at which the next record is written. */
  get endOffset(): number {
    return this.end;
  }

  /** Adds a record at the end. */
  add(index: number, term: number, bytes: number): void {
    if (this.count === 0) this.first = index;
    this.offsets.push(this.end);
    this.terms.push(term);
    this.end += bytes;
  }

  /** Removes the entry at `fromIndex` and all later ones. */
  truncate(fromIndex: number): void {
    const position = Math.max(0, fromIndex - this.first);
    const offset = this.offsets[position];
    if (offset === undefined) return;
    this.offsets.length = position;
    this.terms.length = position;
    this.end = offset;
  }

  /** Returns the term of an entry, or null when the file does not hold it. */
  termAt(index: number): number | null {
    return this.terms[index - this.first] ?? null;
  }

  /** Returns the offset at which the entries after `index` start. */
  offsetAfter(index: number): number {
    if (this.count === 0) return this.end;
    return this.offsets[Math.max(0, index + 1 - this.first)] ?? this.end;
  }

  /** Returns the places of the entries from `from` to `to`, both inclusive, that the file holds. */
  places(from: number, to: number): RecordPlace[] {
    const places: RecordPlace[] = [];
    for (let index = Math.max(from, this.firstIndex); index <= Math.min(to, this.lastIndex); index += 1) {
      const offset = this.offsetAfter(index - 1);
      places.push({ index, offset, bytes: this.offsetAfter(index) - offset });
    }
    return places;
  }

  /** Returns the places of the entries after `index` in a file that holds only these. */
  startingAfter(index: number): LogIndex {
    const rest = new LogIndex();
    for (const place of this.places(index + 1, this.lastIndex)) {
      rest.add(place.index, this.termAt(place.index) ?? 0, place.bytes);
    }
    return rest;
  }
}
