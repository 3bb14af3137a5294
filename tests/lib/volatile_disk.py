"""A disk that a test may kill a process at, and that keeps only what was synced.

The files are real; the calls that make writes and names durable are observed.
"""

import os
import shutil


class ProcessKilled(BaseException):
    """The process was killed; what it wrote stays in the files until power is lost."""


class VolatileDisk:
    """Files under a folder, and what of them survives a loss of power."""

    def __init__(self, folder, monkeypatch):
        self.folder = folder
        self.calls = 0
        self.kill_at = None
        self._contents = {}
        self._names = {}
        self._files = []
        for name in ("fsync", "fdatasync", "replace"):
            monkeypatch.setattr(os, name, self._observe(getattr(os, name)))

    def _observe(self, call):
        def run(*arguments):
            self.calls += 1
            if self.calls == self.kill_at:
                raise ProcessKilled
            call(*arguments)
            if len(arguments) == 1:
                self._record_sync(arguments[0])

        return run

    def _record_sync(self, descriptor):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if os.path.isdir(path):
            self._names = {
                name: self._find_inode(os.path.join(path, name))
                for name in os.listdir(path)
            }
            return
        inode = self._find_inode(path)
        with open(path, "rb") as file:
            self._contents[inode] = file.read()
        # The name of a new file lasts with its content, a changed name doesn't.
        if inode not in self._names.values():
            self._names[os.path.basename(path)] = inode

    def _find_inode(self, path):
        # Kept open, so that the number isn't used again for another file.
        file = open(path, "rb")  # noqa: SIM115
        self._files.append(file)
        return os.fstat(file.fileno()).st_ino

    def lose_power(self, *, keeps_names):
        """Drop all unsynced writes, and all or none of the unsynced name changes."""
        names = self._names
        if keeps_names:
            paths = [self.folder / name for name in os.listdir(self.folder)]
            names = {path.name: path.stat().st_ino for path in paths}
        kept = {name: self._contents.get(inode, b"") for name, inode in names.items()}
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        self._names = {}
        for name, content in kept.items():
            (self.folder / name).write_bytes(content)
            inode = self._find_inode(self.folder / name)
            self._names[name] = inode
            self._contents[inode] = content

    def close(self):
        """Close the files that were kept open."""
        for file in self._files:
            file.close()
