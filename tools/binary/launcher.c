/* Unpacks the interpreter and program appended to this executable, unless an
 * earlier start did, and replaces this process by them (execv).
 *
 * The file ends with a payload (see pack.py) and a trailer. The payload is one
 * zlib stream of entries; the trailer contains its offset, length and digest.
 * The payload is unpacked below HICKORYGATE_UNPACK_DIR, else XDG_RUNTIME_DIR,
 * else /tmp. On an instance without disks these directories are in memory.
 */

#define _GNU_SOURCE
#include <errno.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#define MAGIC "HKGPACK1"
#define DIGEST_CHARS 16
#define CHUNK_BYTES 65536

/* Trailer at the end of the file. */
struct trailer {
  uint64_t payload_start;
  uint64_t payload_bytes;
  char digest[DIGEST_CHARS];
  char magic[sizeof(MAGIC) - 1];
} __attribute__((packed));

/* Header of an entry; the path and the content follow. An entry with an empty
 * path ends the payload. */
struct entry {
  uint32_t path_bytes;
  uint32_t mode;
  uint64_t content_bytes;
} __attribute__((packed));

/* State of decompressing the payload. */
struct reader {
  FILE *file;
  uint64_t remaining;  /* compressed bytes not read yet */
  z_stream stream;
  unsigned char input[CHUNK_BYTES];
};

/* Prints a message with the reason in errno and ends the process. */
static void fail(const char *what, const char *where) {
  const char *reason = errno ? strerror(errno) : "malformed";
  fprintf(stderr, "hickorygate: %s %s: %s\n", what, where, reason);
  fprintf(stderr,
          "set HICKORYGATE_UNPACK_DIR to a directory with enough space\n");
  exit(1);
}

static void read_decompressed(struct reader *reader, void *to, size_t bytes) {
  reader->stream.next_out = to;
  reader->stream.avail_out = bytes;
  while (reader->stream.avail_out > 0) {
    if (reader->stream.avail_in == 0) {
      size_t wanted =
          reader->remaining < CHUNK_BYTES ? reader->remaining : CHUNK_BYTES;
      size_t got = fread(reader->input, 1, wanted, reader->file);
      if (got == 0) fail("can't read", "the payload");
      reader->remaining -= got;
      reader->stream.next_in = reader->input;
      reader->stream.avail_in = got;
    }
    int result = inflate(&reader->stream, Z_NO_FLUSH);
    if (result != Z_OK && result != Z_STREAM_END)
      fail("can't decompress", "the payload");
    if (result == Z_STREAM_END && reader->stream.avail_out > 0)
      fail("unexpected end of", "the payload");
  }
}

/* Creates the parent directories of a path. */
static void make_parents(char *path) {
  for (char *slash = strchr(path + 1, '/'); slash != NULL;
       slash = strchr(slash + 1, '/')) {
    *slash = '\0';
    if (mkdir(path, 0700) != 0 && errno != EEXIST)
      fail("can't create directory", path);
    *slash = '/';
  }
}

static void write_file(struct reader *reader, const char *path,
                       const struct entry *entry) {
  static unsigned char chunk[CHUNK_BYTES];
  FILE *file = fopen(path, "wb");
  if (file == NULL) fail("can't write", path);
  for (uint64_t left = entry->content_bytes; left > 0;) {
    size_t bytes = left < CHUNK_BYTES ? left : CHUNK_BYTES;
    read_decompressed(reader, chunk, bytes);
    if (fwrite(chunk, 1, bytes, file) != bytes) fail("can't write", path);
    left -= bytes;
  }
  if (fclose(file) != 0) fail("can't write", path);
  if (chmod(path, entry->mode) != 0) fail("can't set the mode of", path);
}

static void unpack(FILE *file, const struct trailer *trailer,
                   const char *directory) {
  static struct reader reader;
  struct entry entry;
  char path[PATH_MAX];
  reader.file = file;
  reader.remaining = trailer->payload_bytes;
  if (fseek(file, trailer->payload_start, SEEK_SET) != 0)
    fail("can't read", "the payload");
  if (inflateInit(&reader.stream) != Z_OK) fail("can't initialize", "zlib");
  for (;;) {
    read_decompressed(&reader, &entry, sizeof entry);
    if (entry.path_bytes == 0) break;
    int start = snprintf(path, sizeof path, "%s/", directory);
    if (start + entry.path_bytes >= sizeof path)
      fail("path too long:", directory);
    read_decompressed(&reader, path + start, entry.path_bytes);
    path[start + entry.path_bytes] = '\0';
    make_parents(path);
    write_file(&reader, path, &entry);
  }
  inflateEnd(&reader.stream);
}

/* Returns whether a directory exists. Anything else at this path is an error,
 * and so is a directory that another user owns or can write to, because its
 * files are executed. */
static int is_unpacked(const char *directory) {
  struct stat found;
  if (lstat(directory, &found) != 0) return 0;
  if (!S_ISDIR(found.st_mode) || found.st_uid != geteuid() ||
      (found.st_mode & (S_IWGRP | S_IWOTH)) != 0) {
    errno = EPERM;
    fail("not a directory that only this user can write to:", directory);
  }
  return 1;
}

static const char *base_directory(void) {
  const char *names[] = {"HICKORYGATE_UNPACK_DIR", "XDG_RUNTIME_DIR"};
  for (size_t i = 0; i < sizeof names / sizeof *names; i++) {
    const char *value = getenv(names[i]);
    if (value != NULL && *value != '\0') return value;
  }
  return "/tmp";
}

/* Unpacks into a temporary directory and renames it to the final one. A process
 * that was killed while it unpacked, or a concurrent start, therefore never
 * leaves an incomplete final directory. */
static void ensure_unpacked(FILE *file, const struct trailer *trailer,
                            const char *directory) {
  char partial[PATH_MAX];
  if (is_unpacked(directory)) return;
  int bytes = snprintf(partial, sizeof partial, "%s.XXXXXX", directory);
  if (bytes >= (int)sizeof partial) fail("path too long:", directory);
  if (mkdtemp(partial) == NULL) fail("can't create directory", partial);
  unpack(file, trailer, partial);
  if (rename(partial, directory) != 0 && !is_unpacked(directory))
    fail("can't rename to", directory);
}

static FILE *open_self(struct trailer *trailer) {
  FILE *file = fopen("/proc/self/exe", "rb");
  /* Without /proc, use the path that was passed to execve. */
  if (file == NULL) file = fopen((const char *)getauxval(AT_EXECFN), "rb");
  if (file == NULL) fail("can't read", "this file");
  if (fseek(file, -(long)sizeof *trailer, SEEK_END) != 0 ||
      fread(trailer, sizeof *trailer, 1, file) != 1 ||
      memcmp(trailer->magic, MAGIC, sizeof trailer->magic) != 0)
    fail("no payload in", "this file");
  return file;
}

int main(int argc, char **argv) {
  struct trailer trailer;
  char directory[PATH_MAX], program[PATH_MAX], libraries[PATH_MAX];
  FILE *file = open_self(&trailer);
  snprintf(directory, sizeof directory, "%s/hickorygate-%.*s",
           base_directory(), DIGEST_CHARS, trailer.digest);
  ensure_unpacked(file, &trailer, directory);
  fclose(file);
  if (snprintf(program, sizeof program, "%s/bin/python3", directory) >=
          (int)sizeof program ||
      snprintf(libraries, sizeof libraries, "%s/lib", directory) >=
          (int)sizeof libraries)
    fail("path too long:", directory);
  setenv("LD_LIBRARY_PATH", libraries, 1);

  /* -I ignores Python's environment variables; -B writes no cache files. */
  char *fixed[] = {program, "-I", "-B", "-m", "hickorygate"};
  size_t count = sizeof fixed / sizeof *fixed;
  char **arguments = calloc(count + argc, sizeof *arguments);
  if (arguments == NULL) fail("can't allocate", "the arguments");
  memcpy(arguments, fixed, sizeof fixed);
  for (int i = 1; i < argc; i++) arguments[count + i - 1] = argv[i];
  execv(program, arguments);
  fail("can't execute", program);
}
